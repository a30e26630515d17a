/** All commands by their oclif identifiers, in which a colon separates topic and command. */
import type {Command} from '@oclif/core';
import {
	DocumentHistory, DocumentReview, DocumentShow, DocumentSubmit, DocumentWithdraw,
} from './commands/document.js';
import {KeyCreate, SettingsCheck} from './commands/local.js';
import {MaintenanceStatus, Status} from './commands/status.js';

export const commands: Readonly<Record<string, Command.Class>> = Object.fromEntries<Command.Class>([
	['document:submit', DocumentSubmit],
	['document:review', DocumentReview],
	['document:withdraw', DocumentWithdraw],
	['document:show', DocumentShow],
	['document:history', DocumentHistory],
	['status', Status],
	['key:create', KeyCreate],
	['maintenance:status', MaintenanceStatus],
	['settings:check', SettingsCheck],
]);
