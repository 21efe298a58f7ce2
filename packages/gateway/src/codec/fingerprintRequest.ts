import { fingerprintScope } from "./fingerprintScope";
import { hashToHex } from "./hashToHex";
import type { RequestIdentity } from "./requestIdentity";

const BODY_DIGITS = 20;

/** Identifies a request by what does not change between its attempts; the same on all hosts. */
export const fingerprintRequest = (identity: RequestIdentity): string =>
    `${fingerprintScope(identity)}${hashToHex(identity.body, BODY_DIGITS)}`;
