/** Where a follower learned a document from. */
export type DocumentSource = "store" | "offer" | "peer";
