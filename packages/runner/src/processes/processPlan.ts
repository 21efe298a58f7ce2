/** A process to start. */
export interface ProcessPlan {
    readonly name: string;
    /** File under `dist` without its ending. */
    readonly program: string;
    readonly region: string;
    readonly availabilityZone: string;
    readonly args: readonly string[];
}
