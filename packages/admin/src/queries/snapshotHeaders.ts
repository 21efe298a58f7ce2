import type { ConfigurationSnapshot } from "../ports/configurationSnapshot";

/** Headers that tell which revision an answer shows, and whether a later one may exist. */
export const snapshotHeaders = ({ document, stale }: ConfigurationSnapshot): Readonly<Record<string, string>> => ({
    "x-configuration-revision": String(document.revision),
    ...(stale ? { "x-configuration-stale": "true" } : {}),
});
