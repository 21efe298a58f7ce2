import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import type { Refusal } from "./refusal";

/**
 * Reads a request body up to a maximum size; the error is undefined if the client disconnected or the signal aborted.
 * `onBytes` is called with the number of bytes received so far, first with 0.
 */
export const readRequestBody = (
    request: IncomingMessage,
    maximumBytes: number,
    signal: AbortSignal,
    onBytes?: (receivedBytes: number) => void,
): Promise<Result<Buffer, Refusal | undefined>> =>
    new Promise(resolve => {
        const chunks: Buffer[] = [];
        let sizeBytes = 0;
        const finish = (result: Result<Buffer, Refusal | undefined>): void => {
            signal.removeEventListener("abort", onAbort);
            resolve(result);
        };
        const onAbort = (): void => finish(Err(undefined));
        signal.addEventListener("abort", onAbort, { once: true });
        request.on("data", (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes > maximumBytes) {
                request.pause();
                finish(Err({ status: 413, reason: "body_too_large" }));
                return;
            }
            chunks.push(chunk);
            onBytes?.(sizeBytes);
        });
        request.once("end", () => finish(Ok(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))));
        request.once("error", () => finish(Err(undefined)));
        onBytes?.(0);
        if (signal.aborted) {
            onAbort();
        }
    });
