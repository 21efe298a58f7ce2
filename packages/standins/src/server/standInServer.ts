/** A running stand-in. */
export interface StandInServer extends AsyncDisposable {
    readonly url: string;
    readonly port: number;
}
