import type { CrowdTarget } from "./crowdTarget";
import type { CrowdTraffic } from "./crowdTraffic";

/** What a connection sends at most of something without end. */
const ENDLESS_BYTES = 4_000_000_000;

const PIECE_BYTES = 65_536;
const SMALL_PIECE_BYTES = 4_096;
const LARGE_CHUNK_BYTES = 65_536;

/** How far a body stops before its end. */
const MISSING_BYTES = 1;

const fill = (text: string, sizeBytes: number): Buffer => Buffer.alloc(sizeBytes, text);

const headOf = ({ requestLine, headers }: CrowdTarget, more: Readonly<Record<string, string | number>>): string =>
    `${requestLine}\r\n${
        Object.entries({ ...headers, ...more }).map(([name, value]) => `${name}: ${value}\r\n`).join("")
    }`;

const chunkOf = (sizeBytes: number): string => `${sizeBytes.toString(16)}\r\n${"x".repeat(sizeBytes)}\r\n`;

const endless = (first: string, piece: string, readsAnswers = true): CrowdTraffic => ({
    first: Buffer.from(first),
    piece: fill(piece, Math.floor(PIECE_BYTES / piece.length) * piece.length),
    pieceBytes: ENDLESS_BYTES,
    readsAnswers,
});

const withLength = (target: CrowdTarget, pieceBytes: number): CrowdTraffic => ({
    first: Buffer.from(`${headOf(target, { "Content-Length": target.bodyBytes })}\r\n`),
    piece: fill("x", pieceBytes),
    pieceBytes: target.bodyBytes - MISSING_BYTES,
    readsAnswers: true,
});

const inChunks = (target: CrowdTarget, chunkBytes: number): CrowdTraffic => {
    const chunk = chunkOf(chunkBytes);
    const chunks = Math.floor(target.bodyBytes / chunkBytes);
    return {
        first: Buffer.from(`${headOf(target, { "Transfer-Encoding": "chunked" })}\r\n`),
        piece: Buffer.from(chunk.repeat(Math.max(1, Math.floor(PIECE_BYTES / chunk.length)))),
        // Without the last line end and the last chunk.
        pieceBytes: chunks * chunk.length - MISSING_BYTES,
        readsAnswers: true,
    };
};

/** What a connection of each kind sends. */
export const crowdTraffics = {
    "silent": (): CrowdTraffic => ({
        first: Buffer.alloc(0),
        piece: Buffer.alloc(0),
        pieceBytes: 0,
        readsAnswers: true,
    }),
    "empty-lines": (): CrowdTraffic => endless("", "\r\n"),
    "empty-lines-after-request": (): CrowdTraffic => endless("GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", "\r\n"),
    "endless-target": (): CrowdTraffic => endless("GET /", "a"),
    "endless-value": ({ requestLine }: CrowdTarget): CrowdTraffic => endless(`${requestLine}\r\nX-Value: `, "a"),
    "endless-header-lines": ({ requestLine }: CrowdTarget): CrowdTraffic =>
        endless(`${requestLine}\r\n`, "X-Line: a\r\n"),
    "unfinished-head": (target: CrowdTarget): CrowdTraffic => ({
        first: Buffer.from(headOf(target, {})),
        piece: Buffer.alloc(0),
        pieceBytes: 0,
        readsAnswers: true,
    }),
    "whole-bodies": (target: CrowdTarget): CrowdTraffic => withLength(target, target.bodyBytes),
    "bodies-in-pieces": (target: CrowdTarget): CrowdTraffic => withLength(target, SMALL_PIECE_BYTES),
    "large-chunks": (target: CrowdTarget): CrowdTraffic => inChunks(target, LARGE_CHUNK_BYTES),
    "small-chunks": (target: CrowdTarget): CrowdTraffic => inChunks(target, 1),
    "endless-chunk-extension": (target: CrowdTarget): CrowdTraffic =>
        endless(`${headOf(target, { "Transfer-Encoding": "chunked" })}\r\n1;`, "a"),
    "endless-trailers": (target: CrowdTarget): CrowdTraffic =>
        endless(`${headOf(target, { "Transfer-Encoding": "chunked" })}\r\n0\r\n`, "X-Line: a\r\n"),
    "endless-chunks": (target: CrowdTarget): CrowdTraffic =>
        endless(`${headOf(target, { "Transfer-Encoding": "chunked" })}\r\n`, chunkOf(1)),
    "endless-requests": (target: CrowdTarget): CrowdTraffic =>
        endless("", `${headOf(target, { "Content-Length": 0 })}\r\n`, false),
} as const;
