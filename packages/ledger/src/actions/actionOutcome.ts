import type { ActionAnswer } from "./actionAnswer";

/** Answer to an action, and whether another attempt obtained it. */
export interface ActionOutcome {
    readonly answer: ActionAnswer;
    /** True if another attempt with the same key obtained the answer from the upstream. */
    readonly replayed: boolean;
}
