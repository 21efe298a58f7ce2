/** Lower-case names of the headers between hosts; none is passed to callers or upstreams. */
export const relayHeaders = {
    /** In requests: one for each host that has relayed the request. */
    mark: "ibis-relay-mark",
    /** In requests: the `RelayHead` as JSON, percent-encoded. */
    head: "ibis-relay-head",
    /** In answers: why the peer refused the request. Absent in answers of upstreams. */
    refusal: "ibis-relay-refusal",
    /** In answers: number of the peer's requests in flight. */
    load: "ibis-relay-load",
    /** In answers: software version of the upstream. */
    version: "ibis-relay-version",
} as const;
