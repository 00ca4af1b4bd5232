# Makes the description of a fleet on loopback addresses from a scenario: each VM with its address, pool, domains and
# the address where its stand-in accepts faults to inject.
# Arguments: $net (second byte of the addresses), $size (small or full), $override (an object merged over the scenario).
# The third byte of an address is 0 for stand-ins and their fault addresses, 1 for entry VMs, 3 for VMs of services, and
# 2 and from 4 on for model workers. One fault address serves all services, and one the engines of each failure domain.
def two_digits: tostring | if length < 2 then "0" + . else . end;
(. * $override) as $scenario | $scenario.sizes[$size] as $sizing | "127.\($net)" as $prefix
| ($scenario.failure_domains | length) as $domain_count
| def workers_per_subnet: 250;
  # The third byte of the address of model worker $i.
  def worker_subnet($i): ($i / workers_per_subnet | floor) | if . == 0 then 2 else . + 3 end;
  def failure_domain($i): $scenario.failure_domains[$i % $domain_count];
{
  deployment: $scenario.deployment, size: $size, net: $net,
  failure_domains: $scenario.failure_domains,
  log: "\($prefix).0.11:7001", vm_list: "\($prefix).0.12:7002", weights: "\($prefix).0.13:7003",
  service_faults: "\($prefix).0.20:7004",
  # GET /truth on these addresses returns how often the services ran each order.
  truth: ["\($prefix).0.20:7004"],
  entry_pool: "entry",
  vms: (
    [range($sizing.entries) | {
      vm: "entry-\(. + 1)", ip: "\($prefix).1.\(. + 1)", address: "\($prefix).1.\(. + 1):8080", pool: "entry",
      failure_domain: failure_domain(.), fabric_domain: "", accelerators: 0, faults: ""}] +
    [range($sizing.workers) | . as $i
      | ($i % $domain_count) as $domain_index | (($i / $domain_count) | floor) as $index_in_domain | {
      vm: "\($scenario.vm_prefix)-\($i + 1 | two_digits)",
      address: "\($prefix).\(worker_subnet($i)).\($i % workers_per_subnet + 1):9000", pool: $scenario.model_pool,
      failure_domain: failure_domain($i),
      fabric_domain: "\(failure_domain($i))-f\($index_in_domain % $sizing.fabric_domains_per_failure_domain + 1)",
      accelerators: $scenario.accelerators_per_vm, faults: "\($prefix).0.\(21 + $domain_index):7004"}] +
    [range($sizing.services) | {
      vm: "\($scenario.service_prefix)-\(. + 1)", address: "\($prefix).3.\(. + 1):9100", pool: $scenario.service_pool,
      failure_domain: failure_domain(.), fabric_domain: "", accelerators: 0, faults: "\($prefix).0.20:7004"}]),
  tenants: $scenario.tenants, operations: $scenario.operations, mix: $scenario.mix,
  settings: {log: $scenario.log, vm_list: $scenario.vm_list, weights: {bytes_per_second: $sizing.bytes_per_second},
             engine: $scenario.engine, service: $scenario.service,
             entry: ($scenario.entry // {}), control: ($scenario.control // {})}
}
