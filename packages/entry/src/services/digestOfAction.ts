import { createHash } from "node:crypto";

interface DigestedAction {
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly body: Uint8Array;
}

/** Returns the digest by which a reused key is recognised. */
export const digestOfAction = ({ service, method, path, body }: DigestedAction): string =>
    createHash("sha256").update(JSON.stringify([service, method, path])).update(body).digest("base64url");
