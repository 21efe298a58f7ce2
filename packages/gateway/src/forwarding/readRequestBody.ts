import { createByteCollector } from "@ibislanding/core";
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import type { BodyLimits } from "./bodyLimits";
import type { Refusal } from "./refusal";

/** `Retry-After` of a request whose body finds no room. */
const ROOM_RETRY_MS = 500;

/** Parts of a body that need no room in the budget of parts, and parts for which room is taken at a time. */
const FREE_PARTS = 1_024;
const PARTS_STEP = 1_024;

/**
 * Reads a request body up to a maximum size into memory of the request; the error is undefined if the client disconnected or the
 * signal aborted. `onBytes` is called with the number of bytes received so far, first with 0.
 */
export const readRequestBody = (
    request: IncomingMessage,
    { maximumBytes, memory, parts }: BodyLimits,
    signal: AbortSignal,
    onBytes?: (receivedBytes: number) => void,
): Promise<Result<Buffer, Refusal | undefined>> =>
    new Promise(resolve => {
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        const received = createByteCollector(declaredBytes);
        let heldBytes = 0;
        let receivedParts = 0;
        let heldParts = 0;
        const giveUpStalled = (): void => refuse({ status: 408, reason: "request_stalled" });
        const offers = [memory.offer(giveUpStalled), parts.offer(giveUpStalled)];
        const finish = (result: Result<Buffer, Refusal | undefined>): void => {
            signal.removeEventListener("abort", onAbort);
            offers.forEach(({ withdraw }) => withdraw());
            parts.release(heldParts);
            heldParts = 0;
            resolve(result);
        };
        const refuse = (refusal: Refusal): void => {
            request.off("data", receive);
            // What still arrives is discarded, within the limits of the connection.
            request.resume();
            received.take();
            memory.release(heldBytes);
            heldBytes = 0;
            finish(Err(refusal));
        };
        const onAbort = (): void => finish(Err(undefined));
        const holdMemory = (neededBytes: number): boolean => {
            const grownBytes = neededBytes - heldBytes;
            if (grownBytes > 0) {
                if (!memory.tryHold(grownBytes)) {
                    return false;
                }
                heldBytes = neededBytes;
            }
            return true;
        };
        const holdPart = (): boolean => {
            receivedParts++;
            if (receivedParts > FREE_PARTS + heldParts) {
                if (!parts.tryHold(PARTS_STEP)) {
                    return false;
                }
                heldParts += PARTS_STEP;
            }
            return true;
        };
        const receive = (chunk: Buffer): void => {
            if (received.sizeBytes() + chunk.length > maximumBytes) {
                refuse({ status: 413, reason: "body_too_large" });
                return;
            }
            received.add(chunk);
            if (!holdMemory(received.heldBytes())) {
                refuse({ status: 503, reason: "out_of_memory", retryAfterMs: ROOM_RETRY_MS });
                return;
            }
            if (!holdPart()) {
                refuse({ status: 503, reason: "too_many_parts", retryAfterMs: ROOM_RETRY_MS });
                return;
            }
            offers.forEach(({ recordProgress }) => recordProgress());
            onBytes?.(received.sizeBytes());
        };
        signal.addEventListener("abort", onAbort, { once: true });
        request.once("end", () => finish(Ok(received.take())));
        request.once("error", () => finish(Err(undefined)));
        onBytes?.(0);
        if (signal.aborted) {
            onAbort();
            return;
        }
        if (!holdMemory(declaredBytes)) {
            refuse({ status: 503, reason: "out_of_memory", retryAfterMs: ROOM_RETRY_MS });
            return;
        }
        request.on("data", receive);
    });
