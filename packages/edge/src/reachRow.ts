/**
 * A host that does not reach a good part of a service's upstreams: the address of its listener for peers, the service, and the
 * share of the upstreams that it reaches, 0 if it reaches none.
 */
export type ReachRow = readonly [address: string, service: string, reachedShare: number];
