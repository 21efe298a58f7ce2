import type { ConfigurationSnapshot } from "../ports/configurationSnapshot";

/** Returns the response headers with the revision that was read and whether a later one may exist. */
export const snapshotHeaders = ({ document, stale }: ConfigurationSnapshot): Readonly<Record<string, string>> => ({
    "x-configuration-revision": String(document.revision),
    ...(stale ? { "x-configuration-stale": "true" } : {}),
});
