/** The operator service over the parts of this entry instance. */
import {createOperatorService as createService} from '@turmericbay/operator-service';
import type {OperatorServiceImplementation} from '@turmericbay/peer-protocol';
import type {Settings} from '@turmericbay/settings';
import {createSystemClock} from '@turmericbay/types';
import type {EntryInstanceParts} from './entry-instance.js';
import {createStatusSource} from './status-source.js';

export const createOperatorService = (parts: EntryInstanceParts, settings: Settings): OperatorServiceImplementation => createService({
	documentWatch: parts.documentWatch,
	statusSource: createStatusSource({parts, settings, clock: createSystemClock()}),
});
