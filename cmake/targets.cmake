# Functions that define the targets of the project, with warnings, precompiled headers and aliases.

set(chervil_warnings -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)

# chervil_share_headers(TARGET) enables the warnings, and the precompiled header of chervil_base, which
# holds the headers that are slow to parse. ccache needs -fpch-preprocess to cache compilations that
# use a precompiled header.
function(chervil_share_headers target)
  target_compile_options(${target} PRIVATE ${chervil_warnings} -fpch-preprocess)
  if(NOT target STREQUAL chervil_base)
    target_precompile_headers(${target} REUSE_FROM chervil_base)
  endif()
endfunction()

# chervil_library(NAME LINK ...) defines the library chervil_NAME, with the alias chervildyke::NAME,
# from all sources of the current folder except main.cpp, and links it with the given targets.
function(chervil_library name)
  cmake_parse_arguments(arg "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  add_library(chervil_${name} STATIC ${sources})
  add_library(chervildyke::${name} ALIAS chervil_${name})
  target_include_directories(chervil_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(chervil_${name} PUBLIC ${arg_LINK})
  chervil_share_headers(chervil_${name})
endfunction()

# chervil_program(NAME [SOURCES ...] LINK ...) defines a program from the given sources, or else from
# all sources of the current folder.
function(chervil_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;LINK" ${ARGN})
  set(sources ${arg_SOURCES})
  if(NOT sources)
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  endif()
  add_executable(${name} ${sources})
  target_compile_definitions(${name} PRIVATE CHERVIL_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE ${arg_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  chervil_share_headers(${name})
endfunction()

# chervil_expect_known_failure(TEST) makes ctest expect the test to fail, and report it as an error if it passes, when an
# entry of KNOWN-RED.txt names the test as a whole. Single cases of a test program are named as TEST: CASE; the programs
# themselves pass over them.
set_property(DIRECTORY ${PROJECT_SOURCE_DIR} APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt)
function(chervil_expect_known_failure test)
  file(STRINGS ${PROJECT_SOURCE_DIR}/KNOWN-RED.txt entries REGEX "^${test} *\\|")
  if(entries)
    set_tests_properties(${test} PROPERTIES WILL_FAIL TRUE)
  endif()
endfunction()
