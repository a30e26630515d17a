/**
 * Watches over the etcd v3 JSON gateway: a streaming response with one JSON
 * message per line. A watch without messages does not prove that nothing changed,
 * since a connection stays open during a network partition; callers also poll.
 */
import {Buffer} from 'node:buffer';
import type {KeyValueStore, StoredEntry, StoreError} from '@turmericbay/types';
import type {Result} from 'neverthrow';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {createWatchRequest, toStoredEntry, watchResponse} from './etcd-messages.js';
import type {HttpCaller} from './http-caller.js';
import {CallFailureKind, parseJsonText, toCallFailure} from './http-caller.js';
import {createMalformedError, fromCallFailure, fromErrorResponse} from './store-errors.js';

const okStatus = 200;
const lineFeed = 10;

/** Splits a byte stream into lines; fails once a line exceeds the maximum size. */
const createLineSplitter = (maximumBytes: number) => {
	let buffered: Uint8Array = Buffer.alloc(0);
	return (chunk: Uint8Array): Result<string[], StoreError> => {
		const lines: string[] = [];
		buffered = Buffer.concat([buffered, chunk]);
		for (let end = buffered.indexOf(lineFeed); end !== -1; end = buffered.indexOf(lineFeed)) {
			lines.push(new TextDecoder().decode(buffered.subarray(0, end)));
			buffered = buffered.subarray(end + 1);
		}

		return buffered.length > maximumBytes
			? err(fromCallFailure({kind: CallFailureKind.ResponseTooLarge, message: `a watch message exceeds ${maximumBytes} bytes`}))
			: ok(lines);
	};
};

/** Parses the changed entries of one message; deletions are left out. */
const parseMessage = (line: string): Result<StoredEntry[], StoreError> => {
	const parsed = watchResponse.safeParse(parseJsonText(line));
	if (!parsed.success) {
		return err(createMalformedError(z.prettifyError(parsed.error)));
	}

	const {canceled, cancel_reason: reason, events} = parsed.data.result;
	return canceled
		? err(createMalformedError(`the service ended the watch: ${reason}`))
		: ok(events.filter(({type}) => type === 'PUT').map(({kv}) => toStoredEntry(kv)));
};

type ChangeListener = (entries: readonly StoredEntry[]) => void;

/** Reads messages until the stream ends, and returns the reason. */
const readMessages = async (options: {
	readonly body: AsyncIterable<Uint8Array>;
	readonly maximumBytes: number;
	readonly onChange: ChangeListener;
}): Promise<StoreError> => {
	const split = createLineSplitter(options.maximumBytes);
	for await (const chunk of options.body) {
		const lines = split(chunk);
		if (lines.isErr()) {
			return lines.error;
		}

		for (const line of lines.value) {
			const entries = parseMessage(line);
			if (entries.isErr()) {
				return entries.error;
			}

			if (entries.value.length > 0) {
				options.onChange(entries.value);
			}
		}
	}

	return fromCallFailure({kind: CallFailureKind.ConnectionLost, message: 'the watch ended'});
};

const runWatch = async (options: {
	readonly caller: HttpCaller;
	readonly prefix: string;
	readonly signal: AbortSignal;
	readonly onChange: ChangeListener;
}): Promise<StoreError> => {
	const {caller, prefix, signal, onChange} = options;
	const opened = await caller.open({
		method: 'POST', path: '/v3/watch', body: createWatchRequest(prefix), signal,
	});
	if (opened.isErr()) {
		return fromCallFailure(opened.error);
	}

	const {statusCode, body} = opened.value;
	try {
		return statusCode === okStatus
			? await readMessages({body, maximumBytes: caller.maximumResponseBytes, onChange})
			: fromErrorResponse({status: statusCode, text: await body.text(), entityTag: undefined});
	} catch (error) {
		return fromCallFailure(toCallFailure(error));
	}
};

export const createEtcdWatch = (caller: HttpCaller): KeyValueStore['watch'] => ({prefix, onChange, onEnd}) => {
	const controller = new AbortController();
	const {signal} = controller;
	const run = async (): Promise<void> => {
		const reason = await runWatch({
			caller, prefix, signal, onChange,
		});
		if (!signal.aborted) {
			controller.abort();
			onEnd(reason);
		}
	};

	void run();
	return {
		stop() {
			controller.abort();
		},
	};
};
