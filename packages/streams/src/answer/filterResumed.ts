import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, type Result } from "ts-results";
import type { StreamPosition } from "../eventId/streamPosition";
import type { TokenJournal } from "../journal/tokenJournal";
import type { AnswerEvent } from "./answerEvent";

/**
 * Drops the tokens that the caller already has and checks their digest; ends with `stream_diverged` if they differ from
 * those that were delivered.
 */
export const filterResumed = async function*(
    events: AsyncIterable<Result<AnswerEvent, Failure>>,
    journal: TokenJournal,
    position: StreamPosition,
): AsyncGenerator<Result<AnswerEvent, Failure>> {
    for await (const event of events) {
        const isDelivered = event.ok && event.val.type === "token" && event.val.index < position.tokens;
        if (!isDelivered) {
            yield event;
        }
        else if (
            event.val.type === "token" && event.val.index === position.tokens - 1
            && journal.digest() !== position.digest
        ) {
            yield Err(createFailure(ErrorCode.StreamDiverged));
            return;
        }
    }
};
