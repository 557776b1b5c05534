/** The HTTP interface to a platform that lists workers. Used by proxies and controllers, which poll it. */

import { Type } from '@sinclair/typebox';
import { ListedWorkerShape } from '../state/discovery/listed.js';
import { readerOf } from './read-shape.js';

/** Checks the list of workers. */
export const readWorkerList = readerOf(Type.Object({ workers: Type.Array(ListedWorkerShape) }));
/** Where the list is read. */
export const WORKERS_PATH = '/v1/workers';
