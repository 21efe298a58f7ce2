import { createByteCollector, createFailure, createMemoryBudget, ErrorCode, type Failure } from "@ibislanding/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results";

/** Memory that the bodies of all requests of a process may hold; more only if a single body may be larger. */
const BODY_MEMORY_BYTES = 70_000_000;

/** Parts of all bodies that are being read: each costs processor time, however small it is. */
const BODY_PARTS = 4_000_000;

/** Memory of a body while it is copied into one buffer, against its size. */
const COPIES = 2;

let largestBodyBytes = 0;

const memoryBudget = createMemoryBudget(() => Math.max(BODY_MEMORY_BYTES, COPIES * largestBodyBytes));
const partBudget = createMemoryBudget(() => Math.max(BODY_PARTS, largestBodyBytes));

/**
 * Reads a request body, whose memory counts until the response has ended. Fails with `body_too_large` as soon as it exceeds the limit,
 * with `overloaded` if the bodies of all requests leave no room for it, and with `cancelled` on abort.
 */
export const readBody = (
    request: IncomingMessage,
    response: ServerResponse,
    maximumBytes: number,
): Promise<Result<Buffer, Failure>> =>
    new Promise(resolve => {
        largestBodyBytes = Math.max(largestBodyBytes, maximumBytes);
        const declaredBytes = Number(request.headers["content-length"] ?? 0);
        const received = createByteCollector(declaredBytes);
        const memory = memoryBudget.open();
        const parts = partBudget.open();
        let heldBytes = 0;
        response.once("close", () => memory[Symbol.dispose]());
        const finish = (result: Result<Buffer, Failure>): void => {
            offers.forEach(({ withdraw }) => withdraw());
            parts[Symbol.dispose]();
            resolve(result);
        };
        const refuse = (failure: Failure): void => {
            request.off("data", receive);
            // What still arrives is discarded, within the limits of the connection.
            request.resume();
            received.take();
            memory[Symbol.dispose]();
            finish(Err(failure));
        };
        const offers = [memory, parts].map(({ offer }) => offer(() => refuse(createFailure(ErrorCode.Overloaded))));
        const tryHold = (neededBytes: number): boolean => {
            const isHeld = neededBytes <= heldBytes || memory.tryHold(neededBytes - heldBytes);
            heldBytes = Math.max(heldBytes, neededBytes);
            return isHeld;
        };
        const receive = (chunk: Buffer): void => {
            if (received.sizeBytes() + chunk.length > maximumBytes) {
                refuse(createFailure(ErrorCode.BodyTooLarge, { details: { maximumBytes } }));
                return;
            }
            received.add(chunk);
            if (!tryHold(received.heldBytes()) || !parts.tryHold(1)) {
                refuse(createFailure(ErrorCode.Overloaded));
                return;
            }
            offers.forEach(({ recordProgress }) => recordProgress());
        };
        if (declaredBytes > maximumBytes) {
            refuse(createFailure(ErrorCode.BodyTooLarge, { details: { maximumBytes } }));
            return;
        }
        if (!tryHold(declaredBytes)) {
            refuse(createFailure(ErrorCode.Overloaded));
            return;
        }
        request.on("data", receive);
        request.on("end", () => finish(Ok(received.take())));
        request.on("error", () => finish(Err(createFailure(ErrorCode.Cancelled))));
        request.on("aborted", () => finish(Err(createFailure(ErrorCode.Cancelled))));
    });
