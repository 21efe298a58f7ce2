/** Who changes the configuration, and when. */
export interface ChangeContext {
    readonly changedBy: string;
    readonly nowMs: number;
}
