/** An adapter that every engine of a service should load, and the model that it extends. */
export interface DesiredAdapter {
    readonly adapter: string;
    readonly model: string;
    readonly artifact: string;
}
