/** An authenticated operator. */
export interface Operator {
    readonly name: string;
    /** Teams whose resources the operator may read and change; `*` allows all. */
    readonly teams: readonly string[];
}
