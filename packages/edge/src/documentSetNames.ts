/** Names of the sets of documents that hosts share. */
export const documentSetNames = {
    configuration: "configuration",
    upstreams: "upstreams",
    hosts: "hosts",
    rolloutOrders: "rolloutOrders",
    rolloutStates: "rolloutStates",
} as const;
