import { judgeVersion } from "./judgeVersion";
import { measureExposure } from "./measureExposure";
import { reportAgeMs } from "./reportAgeMs";
import type { RolloutPhase } from "./rolloutPhase";
import type { RolloutState } from "./rolloutState";
import type { ShareKnowledge } from "./shareKnowledge";
import { sustainableShare } from "./sustainableShare";

type Share = (state: RolloutState, knowledge: ShareKnowledge) => number;

const isBad = ({ target }: RolloutState, { evidence }: ShareKnowledge): boolean =>
    judgeVersion(target, evidence).kind === "bad";

/**
 * The budget covers what other hosts have sent and not yet reported, and what all hosts send until they know of it. A
 * host that may have missed the roll-back for so long that the next request would violate `rollbackMs` sends nothing.
 */
const shareWithinBudget: Share = (state, knowledge) => {
    const { stateAgeMs, evidence, bounds, nowMs } = knowledge;
    if (stateAgeMs > bounds.rollbackMs - reportAgeMs || isBad(state, knowledge)) {
        return 0;
    }
    const exposure = measureExposure(state, evidence, bounds, nowMs);
    return Math.min(state.share, sustainableShare(exposure, bounds, 2 * reportAgeMs));
};

const shares: Readonly<Record<RolloutPhase, Share>> = {
    canary: shareWithinBudget,
    ramp: shareWithinBudget,
    promoting: (state, knowledge) => isBad(state, knowledge) ? 0 : state.share,
    completed: () => 1,
    "rolled-back": () => 0,
};

/**
 * Returns the share of the new requests, in [0, 1], that a host may send to the target now; 0 if the host knows only the
 * order, and after its own evidence shows that the target is bad.
 *
 * Handles hosts that know evidence and state only as of `reportAgeMs` ago, and an unavailable store: the share of an old
 * state stays or falls.
 */
export const permittedShare = (knowledge: ShareKnowledge): number =>
    knowledge.state === undefined ? 0 : shares[knowledge.state.phase](knowledge.state, knowledge);
