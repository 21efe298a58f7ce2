/** An authenticated operator. */
export interface Operator {
    readonly name: string;
    /** Teams whose resources the operator may read and change; `*` stands for all. */
    readonly teams: readonly string[];
}
