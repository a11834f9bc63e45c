/** What a core machine keeps on its disk, in MVStore. */
package tinworks.store;
