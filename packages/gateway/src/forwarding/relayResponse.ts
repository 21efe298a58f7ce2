import { createEventSplitter } from "./createEventSplitter";
import type { RelayOptions } from "./relayOptions";
import type { RelayResult } from "./relayResult";

/** Plain responses up to this size are buffered until they are complete, so that an incomplete one can be retried. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Relays the body of a response to the client; ends the client's response only if the body is complete. */
export const relayResponse = (
    { response, isStream, splitsEvents, clientResponse, onFirstByte }: RelayOptions,
): Promise<
    RelayResult
> => new Promise(resolve => {
    const { body } = response;
    const splitter = splitsEvents ? createEventSplitter() : undefined;
    let bufferedChunks: Buffer[] = [];
    let bufferedBytes = 0;
    let hasReceivedBytes = false;
    let isSettled = false;

    const write = (chunk: Buffer): void => {
        if (chunk.length > 0 && !clientResponse.write(chunk)) {
            body.pause();
            clientResponse.onDrain(() => body.resume());
        }
    };

    const flushBuffer = (): void => {
        bufferedChunks.forEach(write);
        bufferedChunks = [];
        bufferedBytes = 0;
    };

    const receive = (chunk: Buffer): void => {
        if (!hasReceivedBytes) {
            hasReceivedBytes = true;
            onFirstByte();
        }
        if (isStream) {
            write(splitter === undefined ? chunk : splitter.push(chunk));
            return;
        }
        bufferedChunks.push(chunk);
        bufferedBytes += chunk.length;
        if (clientResponse.isStarted() || bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
            flushBuffer();
        }
    };

    const settle = (result: RelayResult): void => {
        if (!isSettled) {
            isSettled = true;
            resolve(result);
        }
    };

    const fail = (reason: string): void => {
        response.closeConnection();
        settle({ kind: "broken", reason, lastEventId: splitter?.lastEventId() });
    };

    body.on("data", receive);
    body.on("end", () => {
        // A reset is reported just after the end event that it causes.
        setImmediate(() => {
            if (!body.complete || response.hasFailed()) {
                fail("incomplete-answer");
                return;
            }
            flushBuffer();
            write(splitter?.flush() ?? Buffer.alloc(0));
            clientResponse.end();
            settle({ kind: "complete" });
        });
    });
    body.on("close", () => {
        if (!body.readableEnded) {
            fail("connection-lost");
        }
    });
});
