import { createEventSplitter } from "./createEventSplitter";
import type { ReceivedBody } from "./receivedBody";
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
    const splitter = isStream ? createEventSplitter() : undefined;
    let sizeBytes = 0;
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
        sizeBytes += chunk.length;
        if (splitter !== undefined) {
            const events = splitter.push(chunk);
            write(splitsEvents ? events : chunk);
            return;
        }
        bufferedChunks.push(chunk);
        bufferedBytes += chunk.length;
        if (clientResponse.isStarted() || bufferedBytes > MAXIMUM_BUFFERED_BYTES) {
            flushBuffer();
        }
    };

    const received = (): ReceivedBody => ({
        delimiter: response.delimiter,
        sizeBytes,
        endsInsideEvent: splitter?.isInsideEvent() ?? false,
    });

    const settle = (result: RelayResult): void => {
        if (!isSettled) {
            isSettled = true;
            resolve(result);
        }
    };

    const fail = (reason: string): void => {
        response.closeConnection();
        settle({
            kind: "broken",
            reason,
            lastEventId: splitsEvents ? splitter?.lastEventId() : undefined,
            received: received(),
        });
    };

    body.on("data", receive);
    body.on("end", () => {
        // A reset is reported just after the end event that it causes.
        setImmediate(() => {
            if (!body.complete || response.hasFailed()) {
                fail("incomplete-answer");
                return;
            }
            const complete: RelayResult = { kind: "complete", received: received() };
            flushBuffer();
            write(splitsEvents ? splitter?.flush() ?? Buffer.alloc(0) : Buffer.alloc(0));
            clientResponse.end();
            settle(complete);
        });
    });
    body.on("close", () => {
        if (!body.readableEnded) {
            fail("connection-lost");
        }
    });
});
