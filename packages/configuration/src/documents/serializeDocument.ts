import type { ConfigurationDocument } from "@ibislanding/resources";

/** Returns the stored text of a document. */
export const serializeDocument = (document: ConfigurationDocument): string => JSON.stringify(document);
