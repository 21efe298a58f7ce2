/** Key of the key-value service that holds the whole configuration document. */
export const configurationKey = "config/head";
