import { createFailure, ErrorCode, type RequestId, type UpstreamId } from "@ibislanding/core";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Err, Ok } from "ts-results";
import type { EventIdCodec } from "./eventIdCodec";
import type { StreamBinding } from "./streamBinding";
import type { StreamPosition } from "./streamPosition";

const SIGNATURE_LENGTH = 22;
const MAXIMUM_ID_LENGTH = 512;
const FIELD_PATTERN = /^[A-Za-z0-9._-]+$/;

/** Creates a codec; all entry hosts share the secret. */
export const createEventIdCodec = (secret: string): EventIdCodec => {
    const sign = (payload: string, { accountId, bodySha256 }: StreamBinding): string =>
        createHmac("sha256", secret).update(`${payload}\n${accountId}\n${bodySha256}`).digest("base64url")
            .slice(0, SIGNATURE_LENGTH);

    const isSigned = (payload: string, signature: string, binding: StreamBinding): boolean => {
        const expected = Buffer.from(sign(payload, binding));
        const actual = Buffer.from(signature);
        return expected.length === actual.length && timingSafeEqual(expected, actual);
    };

    const parse = (payload: string): StreamPosition | undefined => {
        const [requestId = "", upstreamId = "", tokens = "", digest = "", ...rest] = payload.split("~");
        const valid = rest.length === 0 && /^\d{1,9}$/.test(tokens)
            && [requestId, upstreamId, digest].every(field => FIELD_PATTERN.test(field));
        return valid
            ? {
                requestId: requestId as RequestId,
                upstreamId: upstreamId as UpstreamId,
                tokens: Number(tokens),
                digest,
            }
            : undefined;
    };

    return {
        encode: ({ requestId, upstreamId, tokens, digest }, binding) => {
            const payload = `${requestId}~${upstreamId}~${tokens}~${digest}`;
            return `${payload}~${sign(payload, binding)}`;
        },
        decode: (text, binding) => {
            const cut = text.lastIndexOf("~");
            const payload = text.slice(0, Math.max(0, cut));
            const position = text.length <= MAXIMUM_ID_LENGTH && isSigned(payload, text.slice(cut + 1), binding)
                ? parse(payload)
                : undefined;
            return position === undefined ? Err(createFailure(ErrorCode.UnknownEvent)) : Ok(position);
        },
    };
};
