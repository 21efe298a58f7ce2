import { createByteCollector, detectReset, findBodyDelimiter } from "@ibislanding/core";
import type { IncomingMessage } from "node:http";
import { setImmediate } from "node:timers/promises";

interface BodyLimits {
    readonly maximumBytes: number;
    /** Time allowed until the end of the body. */
    readonly timeoutMs: number;
}

/**
 * Reads the body of a response to a request with the given method, on a connection of `createHalfOpenAgent`. Returns
 * undefined if the body is truncated, was ended by a reset, or exceeds a limit.
 */
export const readResponseBody = async (
    response: IncomingMessage,
    method: string,
    { maximumBytes, timeoutMs }: BodyLimits,
): Promise<Buffer | undefined> => {
    const received = createByteCollector();
    let wasReset = false;
    if (findBodyDelimiter(response, method) === "connection") {
        detectReset(response.socket, () => {
            wasReset = true;
        });
    }
    const timer = setTimeout(() => response.destroy(), timeoutMs);
    try {
        for await (const chunk of response) {
            received.add(chunk as Buffer);
            if (received.sizeBytes() > maximumBytes) {
                response.destroy();
                return undefined;
            }
        }
        // A reset is reported just after the end that it causes.
        await setImmediate();
        return wasReset || !response.complete ? undefined : received.take();
    }
    catch {
        return undefined;
    }
    finally {
        clearTimeout(timer);
    }
};
