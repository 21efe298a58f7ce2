import { hashToHex } from "./hashToHex";
import type { RequestIdentity } from "./requestIdentity";

const DIGITS = 12;

/** Identifies the account and the address of a request; the fingerprints of all such requests begin with it. */
export const fingerprintScope = ({ accountId, method, host, target }: Omit<RequestIdentity, "body">): string =>
    `${hashToHex(JSON.stringify([accountId ?? null, method, host.toLowerCase(), target]), DIGITS)}.`;
