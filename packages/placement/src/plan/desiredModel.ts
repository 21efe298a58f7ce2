/** A model version that every engine of a service should run. */
export interface DesiredModel {
    readonly model: string;
    readonly version: string;
    readonly artifact: string;
}
