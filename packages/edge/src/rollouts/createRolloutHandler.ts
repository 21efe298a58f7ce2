import { createFailure, ErrorCode } from "@ibislanding/core";
import { type HttpHandler, sendJson, sendProblem } from "@ibislanding/runtime";
import type { RolloutSummary } from "./rolloutSummary";

/** Creates the handler of `GET /rollouts`, which lists the rollouts that this host knows. */
export const createRolloutHandler = (summaries: () => readonly RolloutSummary[]): HttpHandler =>
async (
    request,
    response,
) => {
    request.resume();
    if (request.method !== "GET") {
        sendProblem(response, createFailure(ErrorCode.UnknownRoute));
        return;
    }
    sendJson(response, 200, { rollouts: summaries() });
};
