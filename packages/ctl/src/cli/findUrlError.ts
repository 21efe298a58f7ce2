/** Returns a message if the text is no HTTP URL of a host. */
export const findUrlError = (url: string): string | undefined =>
    URL.canParse(url) && /^https?:/.test(url) ? undefined : "the URL must be http or https";
