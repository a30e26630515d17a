/** Structured logging: one JSON line per numbered event, written through roarr. */
// eslint-disable-next-line import-x/no-unassigned-import -- Imported for its side effect before roarr loads.
import './enable-roarr.js';
// eslint-disable-next-line import-x/order -- Has to follow enable-roarr.
import {ROARR, Roarr} from 'roarr';
import {LogEvent, logEvents, LogLevel} from './log-events.js';

export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>;

export type Logger = {
	/** Writes the event with its fields; the message and the level come from the catalogue. */
	log(event: LogEvent, fields?: LogFields): void;
};

/** The event of the line that is being written; roarr passes only the text to its writer. */
let currentEvent: LogEvent | undefined;

/** Sends all log lines of the process to one function, one line per call. */
export const setLogWriter = (write: (line: string, event: LogEvent | undefined) => void): void => {
	ROARR.write = line => {
		write(line, currentEvent);
	};
};

export const createLogger = (options: {minimumLevel: LogLevel; context: LogFields}): Logger => {
	const child = Roarr.child({...options.context, application: 'turmericbay'});
	return {
		log(event, fields = {}) {
			const {level, message} = logEvents[event];
			if (level >= options.minimumLevel) {
				currentEvent = event;
				child({
					...fields, event, name: LogEvent[event], logLevel: level,
				}, message);
			}
		},
	};
};

/** Names of the levels in the settings; the catalogue has no events below debug or above error. */
const levelsByName: ReadonlyMap<string, LogLevel> = new Map([
	['trace', LogLevel.Debug],
	['debug', LogLevel.Debug],
	['info', LogLevel.Information],
	['warn', LogLevel.Warning],
	['error', LogLevel.Error],
	['fatal', LogLevel.Error],
]);

/** Parses the name of a level in the settings. */
export const parseLogLevel = (text: string): LogLevel | undefined => levelsByName.get(text);
