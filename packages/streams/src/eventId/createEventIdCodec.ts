import { createFailure, ErrorCode, type Hasher, type RequestId, type UpstreamId } from "@ibislanding/core";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Err, Ok } from "ts-results";
import type { EventIdCodec } from "./eventIdCodec";
import type { StreamBinding } from "./streamBinding";
import type { StreamPosition } from "./streamPosition";

const SIGNATURE_LENGTH = 22;
const MAXIMUM_ID_LENGTH = 512;
const FIELD_PATTERN = /^[A-Za-z0-9._-]+$/;

/** Offset in the HMAC from which its bytes stay secret and seed the hash of a position. */
const CHECK_SEED_OFFSET = 24;

/** Number of streams whose signatures are cached, so that an HMAC is not computed for every token. */
const MAXIMUM_CACHED_SIGNATURES = 10_000;

interface StreamSignature {
    readonly signature: string;
    readonly seed: bigint;
}

/**
 * Creates a codec; all entry hosts share the secret. An id carries an HMAC over its stream, upstream, client account and
 * body, computed once per stream, and a hash of the position that is keyed with a secret part of that HMAC.
 */
export const createEventIdCodec = (secret: string, hasher: Hasher): EventIdCodec => {
    const signatureCache = new Map<string, StreamSignature>();

    const sign = (stream: string, { accountId, bodySha256 }: StreamBinding): StreamSignature => {
        const mac = createHmac("sha256", secret).update(`${stream}\n${accountId}\n${bodySha256}`).digest();
        return {
            signature: mac.subarray(0, CHECK_SEED_OFFSET).toString("base64url").slice(0, SIGNATURE_LENGTH),
            seed: mac.readBigUInt64BE(CHECK_SEED_OFFSET),
        };
    };

    const signCached = (stream: string, binding: StreamBinding): StreamSignature => {
        const key = `${stream}\n${binding.accountId}\n${binding.bodySha256}`;
        const cached = signatureCache.get(key);
        if (cached !== undefined) {
            return cached;
        }
        const signed = sign(stream, binding);
        signatureCache.set(key, signed);
        if (signatureCache.size > MAXIMUM_CACHED_SIGNATURES) {
            signatureCache.delete(signatureCache.keys().next().value ?? "");
        }
        return signed;
    };

    const encode = (position: StreamPosition, { signature, seed }: StreamSignature): string => {
        const { requestId, upstreamId, tokens, digest } = position;
        const check = hasher.hash64Hex(`${tokens}~${digest}`, seed);
        return `${requestId}~${upstreamId}~${tokens}~${digest}~${signature}${check}`;
    };

    const parse = (text: string): StreamPosition | undefined => {
        const [requestId = "", upstreamId = "", tokens = "", digest = "", signature = "", ...rest] = text.split("~");
        const isValid = rest.length === 0 && /^\d{1,9}$/.test(tokens)
            && [requestId, upstreamId, digest, signature].every(field => FIELD_PATTERN.test(field));
        return isValid
            ? {
                requestId: requestId as RequestId,
                upstreamId: upstreamId as UpstreamId,
                tokens: Number(tokens),
                digest,
            }
            : undefined;
    };

    const isAuthentic = (position: StreamPosition, text: string, binding: StreamBinding): boolean => {
        const signed = sign(`${position.requestId}~${position.upstreamId}`, binding);
        const expected = Buffer.from(encode(position, signed));
        const actual = Buffer.from(text);
        return expected.length === actual.length && timingSafeEqual(expected, actual);
    };

    return {
        encode: (position, binding) =>
            encode(position, signCached(`${position.requestId}~${position.upstreamId}`, binding)),
        decode: (text, binding) => {
            const position = text.length <= MAXIMUM_ID_LENGTH ? parse(text) : undefined;
            return position !== undefined && isAuthentic(position, text, binding)
                ? Ok(position)
                : Err(createFailure(ErrorCode.UnknownEvent));
        },
    };
};
