/** Conditions of a placement as reported to operators. */
export interface PlacementConditions {
    /** Whether live replicas carry the demand. */
    readonly carriesDemand: boolean;
    /** Whether live replicas carry the demand after the loss of the spare zones. */
    readonly survivesZoneLoss: boolean;
    /** Whether the start of any choice is currently refused. */
    readonly startsRefused: boolean;
    readonly pricePerHour: number;
}
