import { ResponderBuilder, ServerInterceptingCall, type ServerInterceptor, ServerListenerBuilder } from "@grpc/grpc-js";
import type { Socket } from "node:net";
import type { ReceiveMeter } from "./receiveMeter";
import type { ReceivingConnection } from "./receivingConnection";
import { selectExcessive } from "./selectExcessive";

/** Interval of checks while some message is unfinished; most arrive at once, so that none is needed for them. */
const CHECK_INTERVAL_MS = 20;

/** Creates the meter of a listener; beyond the maximum, the connections that hold most are closed. */
export const createReceiveMeter = (maximumBytes: number): ReceiveMeter => {
    const connections = new Map<string, ReceivingConnection>();
    let unfinishedMessages = 0;
    let timer: NodeJS.Timeout | undefined;

    const check = (): void => selectExcessive(connections.values(), maximumBytes).forEach(({ close }) => close());

    const begin = (connection: ReceivingConnection): void => {
        connection.hasCalled = true;
        connection.unfinishedMessages++;
        unfinishedMessages++;
        timer ??= setInterval(check, CHECK_INTERVAL_MS).unref();
    };

    const finish = (connection: ReceivingConnection): void => {
        connection.unfinishedMessages--;
        if (connection.unfinishedMessages === 0) {
            connection.bytesBefore = connection.receivedBytes();
        }
        unfinishedMessages--;
        if (unfinishedMessages === 0) {
            clearInterval(timer);
            timer = undefined;
        }
    };

    const intercept: ServerInterceptor = (_method, call) => {
        const connection = connections.get(call.getPeer());
        if (connection === undefined) {
            return new ServerInterceptingCall(call);
        }
        let isUnfinished = true;
        begin(connection);
        const finishOnce = (): void => {
            if (isUnfinished) {
                isUnfinished = false;
                finish(connection);
            }
        };
        const listener = new ServerListenerBuilder()
            .withOnReceiveMessage((message, next) => {
                finishOnce();
                next(message);
            })
            .withOnCancel(finishOnce)
            .build();
        return new ServerInterceptingCall(
            call,
            new ResponderBuilder()
                .withStart(next => next(listener))
                .withSendStatus((status, next) => {
                    finishOnce();
                    next(status);
                })
                .build(),
        );
    };

    return {
        intercept,
        add: (socket: Socket) => {
            const key = `${socket.remoteAddress}:${socket.remotePort}`;
            const connection: ReceivingConnection = {
                unfinishedMessages: 0,
                bytesBefore: 0,
                hasCalled: false,
                receivedBytes: () => socket.bytesRead,
                close: () => socket.destroy(),
            };
            connections.set(key, connection);
            socket.once("close", () => connections.delete(key));
            return connection;
        },
    };
};
