import type { ConfigurationDocument } from "@ibislanding/resources";

/** Serializes a document to the JSON text that is stored and sent to peers. */
export const serializeDocument = (document: ConfigurationDocument): string => JSON.stringify(document);
