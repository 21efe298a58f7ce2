import { createHash } from "node:crypto";

interface DigestedAction {
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly body: Uint8Array;
}

/** Returns the base64url SHA-256 digest of an action, which detects an idempotency key reused for another request. */
export const digestOfAction = ({ service, method, path, body }: DigestedAction): string =>
    createHash("sha256").update(JSON.stringify([service, method, path])).update(body).digest("base64url");
