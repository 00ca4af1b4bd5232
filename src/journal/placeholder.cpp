namespace chervildyke {
}
