import { createFailure, ErrorCode, type Failure, type RequestId } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import type { EngineEvent } from "./engineEvent";

type Fields = Readonly<Record<string, unknown>>;

const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 0;

const checks: Readonly<Record<EngineEvent["type"], (fields: Fields) => boolean>> = {
    started: fields => isCount(fields["promptTokens"]) && isCount(fields["cachedTokens"]),
    token: fields => isCount(fields["index"]) && typeof fields["text"] === "string",
    heartbeat: () => true,
    finished: fields =>
        isCount(fields["totalTokens"]) && (fields["reason"] === "stop" || fields["reason"] === "length"),
};

const invalidEvent = (): Result<EngineEvent, Failure> => Err(createFailure(ErrorCode.UpstreamInvalidAnswer));

/** Parses and validates one event of the given request; fails with `upstream_invalid_answer` otherwise. */
export const parseEngineEvent = (text: string, requestId: RequestId): Result<EngineEvent, Failure> => {
    try {
        const fields = JSON.parse(text) as Fields | null;
        const check = checks[fields?.["type"] as EngineEvent["type"]] as ((fields: Fields) => boolean) | undefined;
        return fields !== null && fields["requestId"] === requestId && check?.(fields) === true
            ? Ok(fields as unknown as EngineEvent)
            : invalidEvent();
    }
    catch {
        return invalidEvent();
    }
};
