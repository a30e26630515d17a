import process from 'node:process';
import {measureDecisions} from './decision-time.js';
import {
	createDecisionTable, createLocalityTable, createOverloadTable, createRetryTable, seeds, createShareTable,
} from './tables.js';

const parts = [createOverloadTable(), createShareTable(), createRetryTable(), createLocalityTable(), createDecisionTable(measureDecisions(seeds[0]!))];
process.stdout.write(`${parts.join('\n')}\n`);
