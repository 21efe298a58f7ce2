import { createByteCollector } from "@ibislanding/core";
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import type { HeldMemory } from "./heldMemory";
import type { Refusal } from "./refusal";

/** `Retry-After` of a request whose body finds no memory. */
const MEMORY_RETRY_MS = 500;

/**
 * Reads a request body up to a maximum size into memory of the request; the error is undefined if the client disconnected or the
 * signal aborted. `onBytes` is called with the number of bytes received so far, first with 0.
 */
export const readRequestBody = (
    request: IncomingMessage,
    maximumBytes: number,
    memory: HeldMemory,
    signal: AbortSignal,
    onBytes?: (receivedBytes: number) => void,
): Promise<Result<Buffer, Refusal | undefined>> =>
    new Promise(resolve => {
        const received = createByteCollector();
        let heldBytes = 0;
        const finish = (result: Result<Buffer, Refusal | undefined>): void => {
            signal.removeEventListener("abort", onAbort);
            resolve(result);
        };
        const onAbort = (): void => finish(Err(undefined));
        signal.addEventListener("abort", onAbort, { once: true });
        const refuse = (refusal: Refusal): void => {
            request.off("data", receive);
            request.pause();
            received.take();
            finish(Err(refusal));
        };
        const receive = (chunk: Buffer): void => {
            if (received.sizeBytes() + chunk.length > maximumBytes) {
                refuse({ status: 413, reason: "body_too_large" });
                return;
            }
            received.add(chunk);
            const grownBytes = received.heldBytes() - heldBytes;
            if (!memory.tryHold(grownBytes)) {
                refuse({ status: 503, reason: "out_of_memory", retryAfterMs: MEMORY_RETRY_MS });
                return;
            }
            heldBytes += grownBytes;
            onBytes?.(received.sizeBytes());
        };
        request.on("data", receive);
        request.once("end", () => finish(Ok(received.take())));
        request.once("error", () => finish(Err(undefined)));
        onBytes?.(0);
        if (signal.aborted) {
            onAbort();
        }
    });
