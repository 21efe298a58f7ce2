import type { ActionAnswer } from "./actionAnswer";

/** Answer to an action and where it comes from. */
export interface ActionOutcome {
    readonly answer: ActionAnswer;
    /** True when the answer was recorded by an earlier attempt. */
    readonly replayed: boolean;
}
