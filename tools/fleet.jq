# Makes the description of a fleet on loopback addresses from a scenario: each VM with its address, pool, domains and
# the address where its stand-in takes faults.
# Arguments: $net (second byte of the addresses), $size, $override (an object merged over the scenario).
def two_digits: tostring | if length < 2 then "0" + . else . end;
(. * $override) as $s | $s.sizes[$size] as $z | "127.\($net)" as $ip
| ($s.failure_domains | length) as $domains
| def worker_net($i): ($i / 250 | floor) | if . == 0 then 2 else . + 3 end;
  def domain($i): $s.failure_domains[$i % $domains];
{
  deployment: $s.deployment, size: $size, net: $net,
  failure_domains: $s.failure_domains,
  log: "\($ip).0.11:7001", vm_list: "\($ip).0.12:7002", weights: "\($ip).0.13:7003",
  service_faults: "\($ip).0.20:7004",
  truth: ["\($ip).0.20:7004"],
  entry_pool: "entry",
  vms: (
    [range($z.entries) | {
      vm: "entry-\(. + 1)", ip: "\($ip).1.\(. + 1)", address: "\($ip).1.\(. + 1):8080", pool: "entry",
      failure_domain: domain(.), fabric_domain: "", accelerators: 0, faults: ""}] +
    [range($z.workers) | . as $i | ($i % $domains) as $d | (($i / $domains) | floor) as $k | {
      vm: "\($s.vm_prefix)-\($i + 1 | two_digits)", address: "\($ip).\(worker_net($i)).\($i % 250 + 1):9000", pool: $s.model_pool,
      failure_domain: domain($i),
      fabric_domain: "\(domain($i))-f\($k % $z.fabric_domains_per_failure_domain + 1)",
      accelerators: $s.accelerators_per_vm, faults: "\($ip).0.\(21 + $d):7004"}] +
    [range($z.services) | {
      vm: "\($s.service_prefix)-\(. + 1)", address: "\($ip).3.\(. + 1):9100", pool: $s.service_pool,
      failure_domain: domain(.), fabric_domain: "", accelerators: 0, faults: "\($ip).0.20:7004"}]),
  tenants: $s.tenants, operations: $s.operations, mix: $s.mix,
  settings: {log: $s.log, vm_list: $s.vm_list, weights: {bytes_per_second: $z.bytes_per_second},
             engine: $s.engine, service: $s.service, entry: ($s.entry // {}), control: ($s.control // {})}
}
