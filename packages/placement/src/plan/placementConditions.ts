/** State of a placement as operators see it. */
export interface PlacementConditions {
    /** Whether live replicas carry the demand. */
    readonly carriesDemand: boolean;
    /** Whether live replicas carry the demand after the loss of the spare zones. */
    readonly survivesZoneLoss: boolean;
    /** Whether any start is refused at the moment. */
    readonly startsRefused: boolean;
    readonly pricePerHour: number;
}
