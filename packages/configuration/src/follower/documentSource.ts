/** Source of a document: a store read, a document offered by a peer or this host's writer, or a peer's response. */
export type DocumentSource = "store" | "offer" | "peer";
