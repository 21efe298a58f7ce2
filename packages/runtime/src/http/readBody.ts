import { createByteCollector, createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results";

/** Reads a request body; fails with `body_too_large` as soon as it exceeds the limit, and with `cancelled` on abort. */
export const readBody = (request: IncomingMessage, maximumBytes: number): Promise<Result<Buffer, Failure>> =>
    new Promise(resolve => {
        const received = createByteCollector();
        if (Number(request.headers["content-length"] ?? 0) > maximumBytes) {
            resolve(Err(createFailure(ErrorCode.BodyTooLarge, { details: { maximumBytes } })));
            return;
        }
        request.on("data", (chunk: Buffer) => {
            if (received.sizeBytes() + chunk.length > maximumBytes) {
                request.pause();
                resolve(Err(createFailure(ErrorCode.BodyTooLarge, { details: { maximumBytes } })));
                return;
            }
            received.add(chunk);
        });
        request.on("end", () => resolve(Ok(received.take())));
        request.on("error", () => resolve(Err(createFailure(ErrorCode.Cancelled))));
        request.on("aborted", () => resolve(Err(createFailure(ErrorCode.Cancelled))));
    });
