/** The HTTP interface of a platform that lists workers, polled by proxies and controllers. */

import { Type } from '@sinclair/typebox';
import { ListedWorkerShape } from '../state/discovery/listed.js';
import { readerOf } from './read-shape.js';

/** Validates the list of workers. */
export const readWorkerList = readerOf(Type.Object({ workers: Type.Array(ListedWorkerShape) }));
/** Path at which the list of workers is read. */
export const WORKERS_PATH = '/v1/workers';
