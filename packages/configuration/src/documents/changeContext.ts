/** Author and wall-clock time of a change, recorded with each resource that it changes. */
export interface ChangeContext {
    readonly changedBy: string;
    readonly nowMs: number;
}
