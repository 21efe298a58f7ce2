import type { Candidate } from "../queries/candidate";
import type { PolicyChoice } from "./policyChoice";
import type { PolicyInput } from "./policyInput";

/** Converts the index of a candidate that was chosen without regard to the latency target. */
export const toChoice = ({ candidates, request }: PolicyInput, index: number): PolicyChoice => ({
    type: "chosen",
    candidate: candidates[index] as Candidate,
    meetingTargetCount:
        candidates.filter(({ predictedFirstTokenMs }) => predictedFirstTokenMs <= request.firstTokenTargetMs).length,
});
