/** Key in the key-value service under which the whole configuration document is stored. */
export const configurationKey = "config/head";
